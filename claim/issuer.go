package claim

import "sync"

// issuer grants claims of the keys that this incarnation issued; nothing else
// grants them, so it needs no store. It is safe for concurrent use.
type issuer struct {
	id      Issuer
	maxKeys uint64 // number of the newest serials that are kept; older ones are Unknown

	mu         sync.Mutex                // guards lastSerial and keys
	lastSerial uint64                    // the last serial issued
	keys       map[uint64]issuedKeyState // the last maxKeys issued, by serial
}

// issuedKeyState is the state of an issued key. prior.State is zero if the key
// is not claimed.
type issuedKeyState struct {
	workspace string // workspace that the key was issued to
	mark      string
	prior     Prior
}

func newIssuer(id Issuer, keep int) *issuer {
	return &issuer{id: id, maxKeys: uint64(keep), keys: map[uint64]issuedKeyState{}}
}

// issue returns a new key for one call of the workspace.
func (i *issuer) issue(workspace string) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lastSerial++
	if i.lastSerial > i.maxKeys {
		delete(i.keys, i.lastSerial-i.maxKeys)
	}
	i.keys[i.lastSerial] = issuedKeyState{workspace: workspace}
	return issuedKey(i.id, i.lastSerial)
}

// claim applies the claim rule to an issued key. A serial that is no longer
// kept may have been used, so its state is Unknown.
func (i *issuer) claim(serial uint64, workspace, mark string) (verdict, Prior, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if serial == 0 || serial > i.lastSerial {
		return verdictRefuse, Prior{}, ErrBadKey
	}
	if serial+i.maxKeys <= i.lastSerial {
		return verdictRefuse, Prior{State: Unknown}, nil
	}
	e := i.keys[serial]
	if e.workspace != workspace {
		return verdictRefuse, Prior{}, ErrBadKey
	}
	v := decideClaim(e.prior.State != 0, e.prior.State == Running, e.mark == mark)
	if v == verdictGrant {
		i.keys[serial] = issuedKeyState{workspace: workspace, mark: mark, prior: Prior{State: Running}}
	}
	return v, e.prior, nil
}

// settle records the outcome of a grant.
func (i *issuer) settle(serial uint64, mark string, o Outcome) {
	i.mu.Lock()
	defer i.mu.Unlock()
	e, ok := i.keys[serial]
	if !ok || e.mark != mark || e.prior.State != Running {
		return
	}
	switch o.Kind {
	case OutcomeNotRun:
		e = issuedKeyState{workspace: e.workspace}
	case OutcomeDone:
		e.prior = Prior{State: Done, Record: o.Record}
	default:
		e.prior = Prior{State: Unknown}
	}
	i.keys[serial] = e
}
