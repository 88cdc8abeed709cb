package objectapi

// MultiSink is a Sink that passes everything on to each of several, in order, so
// that one watch serves all that a process follows. Each is told of all kinds
// and takes what it knows.
type MultiSink []Sink

var _ Sink = MultiSink(nil)

// Snapshot implements Sink.
func (s MultiSink) Snapshot(kind string, l Listing) {
	for _, sink := range s {
		sink.Snapshot(kind, l)
	}
}

// Events implements Sink.
func (s MultiSink) Events(kind string, l Listing) {
	for _, sink := range s {
		sink.Events(kind, l)
	}
}
