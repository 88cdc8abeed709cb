package declared

import (
	"github.com/juju/errors"

	"github.com/briarturn/briarturn/config"
)

// Kinds of declared objects in the object API.
const (
	KindModelPool        = "ModelPool"
	KindWorkspacePolicy  = "WorkspacePolicy"
	KindBackendServerSet = "BackendServerSet"
	KindServiceLevel     = "ServiceLevel"
)

// ErrUnknownKind means that the kind is none of Kinds.
const ErrUnknownKind = errors.ConstError("unknown kind of declared object")

// Spec is the value of a declared object: *ModelPool, *WorkspacePolicy,
// *BackendServerSet or *ServiceLevel. It must not be changed once decoded.
type Spec interface {
	// pool names the pool or service that the object concerns, "" if none.
	pool(name string) string
}

// newSpec holds, for each kind, a constructor that sets the defaults.
var newSpec = map[string]func() Spec{
	KindModelPool: func() Spec {
		return &ModelPool{LongPrefillShare: DefaultLongPrefillShare, MaxWeightLoads: DefaultMaxWeightLoads}
	},
	KindWorkspacePolicy:  func() Spec { return newWorkspacePolicy() },
	KindBackendServerSet: func() Spec { return &BackendServerSet{} },
	KindServiceLevel:     func() Spec { return &ServiceLevel{AlertRules: defaultWindows()} },
}

// Kinds returns all kinds of declared objects.
func Kinds() []string {
	return []string{KindModelPool, KindWorkspacePolicy, KindBackendServerSet, KindServiceLevel}
}

// Decode reads and validates the value of an object. The error lists all
// faults by their path (config.FieldErrorsOf), or is ErrUnknownKind.
func Decode(kind string, data []byte) (Spec, error) {
	construct, ok := newSpec[kind]
	if !ok {
		return nil, errors.Annotatef(ErrUnknownKind, "%q", kind)
	}
	spec := construct()
	if err := config.Decode(data, spec); err != nil {
		return nil, err
	}
	return spec, nil
}
