package objectapi

// MultiSink is a Sink that passes each call on to several sinks in order, so
// that one watch serves all consumers in a process. Each receives all kinds
// and ignores those it does not use.
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
