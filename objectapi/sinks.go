package objectapi

// Sinks is a Sink that passes everything on to each of several, in order, so
// that one watch serves all that a process follows. Each is told of all kinds
// and takes what it knows.
type Sinks []Sink

var _ Sink = Sinks(nil)

// Snapshot implements Sink.
func (s Sinks) Snapshot(kind string, l Listing) {
	for _, sink := range s {
		sink.Snapshot(kind, l)
	}
}

// Events implements Sink.
func (s Sinks) Events(kind string, l Listing) {
	for _, sink := range s {
		sink.Events(kind, l)
	}
}
