package gatewaynode

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/internal/admin"
)

// Guards against an operator who can't see from the log that a server got no requests, and why, or who
// is shown it each second.
func TestLostServersAreLoggedOnChange(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	lost := map[string]admin.LostServer{"i-1": {Evidence: "refused", Entries: []string{"e1", "e2"}, AgeMS: 12}}
	var l lostLog
	for _, c := range []struct {
		lost map[string]admin.LostServer
		want []string
	}{
		{nil, nil},
		{lost, []string{"server counts as lost", "i-1", "refused", "e1 e2", "age_ms=12"}},
		{lost, nil},
		{nil, []string{"server no longer counts as lost", "i-1"}},
		{nil, nil},
	} {
		out.Reset()
		l.write(log, c.lost)
		if len(c.want) == 0 && out.Len() > 0 {
			t.Errorf("%v: logged %s", c.lost, out.String())
		}
		for _, text := range c.want {
			if !strings.Contains(out.String(), text) {
				t.Errorf("%q lacks %q", out.String(), text)
			}
		}
	}
}
