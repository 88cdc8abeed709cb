package objectapi

import (
	"encoding/json"

	"github.com/briarturn/briarturn/objectapi"
)

type vmChange struct {
	vm      objectapi.VM
	removed bool
}

// SetVM adds or replaces an entry of the VM list, as the platform would. It
// is held back while the list is frozen. Faults of calls don't touch it.
func (m *Memory) SetVM(vm objectapi.VM) { m.changeVM(vmChange{vm: vm}) }

// RemoveVM takes an entry off the VM list.
func (m *Memory) RemoveVM(name string) {
	m.changeVM(vmChange{vm: objectapi.VM{Name: name}, removed: true})
}

func (m *Memory) changeVM(c vmChange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heldVMs = append(m.heldVMs, c)
	if !m.faults.VMListFrozen {
		m.thawLocked()
	}
}

func (m *Memory) thawLocked() {
	for _, c := range m.heldVMs {
		m.applyVMLocked(c)
	}
	m.heldVMs = nil
}

func (m *Memory) applyVMLocked(c vmChange) {
	key := objectKey{objectapi.KindVM, c.vm.Name}
	if c.removed {
		if _, ok := m.live[key]; ok {
			m.commitLocked(key, nil, true)
		}
		return
	}
	data, err := json.Marshal(c.vm)
	if err != nil {
		panic(err) // a struct of strings always marshals
	}
	m.commitLocked(key, data, false)
}
