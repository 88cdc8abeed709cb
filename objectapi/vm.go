package objectapi

// KindVM is the object kind of the platform's VM list. The platform writes
// it; it lags behind reality.
const KindVM = "VM"

// VMState is what the platform says of a VM.
type VMState string

// States of a VM. A VM that is gone has no object.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's VM list; the object's name is the VM's.
type VM struct {
	Name    string  `json:"name"`
	Address string  `json:"address,omitempty"` // IP number
	Zone    string  `json:"zone,omitempty"`
	State   VMState `json:"state"`
}
