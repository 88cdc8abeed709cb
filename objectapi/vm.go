package objectapi

// KindVM is the object kind of the platform's VM list. The platform writes the
// list, which lags behind the actual state.
const KindVM = "VM"

// VMState is the state of a VM as the platform reports it.
type VMState string

// States of a VM. A VM that no longer exists has no object.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's VM list. The name of the object is the
// name of the VM.
type VM struct {
	Name    string  `json:"name"`
	Address string  `json:"address,omitempty"` // IP address
	Zone    string  `json:"zone,omitempty"`
	State   VMState `json:"state"`
}
