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

// ErrUnknownKind means that the kind is not one of Kinds.
const ErrUnknownKind = errors.ConstError("unknown kind of declared object")

// Spec is the value of a declared object: *ModelPool, *WorkspacePolicy,
// *BackendServerSet or *ServiceLevel. It must not be modified after it has
// been decoded.
type Spec interface {
	// poolName returns the name of the pool or service that the object
	// concerns, or "" if there is none.
	poolName(name string) string
}

// specConstructors maps each kind to a constructor that sets the defaults.
var specConstructors = map[string]func() Spec{
	KindModelPool: func() Spec {
		return &ModelPool{LongPrefillShare: DefaultLongPrefillShare, MaxWeightLoads: DefaultMaxWeightLoads}
	},
	KindWorkspacePolicy:  func() Spec { return newWorkspacePolicy() },
	KindBackendServerSet: func() Spec { return &BackendServerSet{} },
	KindServiceLevel:     func() Spec { return &ServiceLevel{AlertRules: defaultAlertRules()} },
}

// Kinds returns all kinds of declared objects.
func Kinds() []string {
	return []string{KindModelPool, KindWorkspacePolicy, KindBackendServerSet, KindServiceLevel}
}

// Decode decodes and validates the value of an object. The error is
// ErrUnknownKind or lists all faults by their path (config.FieldErrorsOf).
func Decode(kind string, data []byte) (Spec, error) {
	construct, ok := specConstructors[kind]
	if !ok {
		return nil, errors.Annotatef(ErrUnknownKind, "%q", kind)
	}
	spec := construct()
	if err := config.Decode(data, spec); err != nil {
		return nil, err
	}
	return spec, nil
}
