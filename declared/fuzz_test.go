package declared

import (
	"bytes"
	"testing"
)

// FuzzDecodeManifests checks that no file makes the decoder panic, and that an
// accepted object is accepted again in the form in which the store keeps it.
func FuzzDecodeManifests(f *testing.F) {
	f.Add([]byte(`[{"kind":"WorkspacePolicy","name":"a","spec":{"default_timeout":"1s"}}]`))
	f.Add([]byte(`{"kind":"BackendServerSet","name":"d","spec":{"pool":"p","zones":["z"],"template":{"name":"s{index}","address":"10.0.0.{index}:1","count":2}}}`))
	f.Add([]byte(`{"kind":"ServiceLevel","name":"e","spec":{"workspace":"a","class":"1k-4k","ttft":"1s","objective":0.5,"windows":[{"long":"2h","short":"1h","rate":2}]}}`))
	f.Add([]byte(`{"kind":"ModelPool","name":"f","spec":{"models":[null],"zones":[1,{}],"engine":[]}}`))
	f.Fuzz(func(t *testing.T, file []byte) {
		objects, err := DecodeManifests(bytes.NewReader(file))
		if err != nil {
			return
		}
		for _, o := range objects {
			if _, err := Decode(o.Kind, o.Data); err != nil {
				t.Fatalf("%s %s: accepted, then rejected: %v", o.Kind, o.Data, err)
			}
		}
	})
}
