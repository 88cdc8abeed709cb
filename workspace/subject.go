package workspace

// maxIdleSubjects is the number of subjects without waiting requests whose start tags a flow
// keeps: many more than wait at a time, so that a subject that is asked for again within
// moments doesn't start anew before the others.
const maxIdleSubjects = 64

// subject holds the waiting requests of one Item.Subject in a flow. Subjects share the flow's
// room as workspaces share the queue's, each with the same weight.
type subject struct {
	id       uint64
	startTag float64 // in tokens
	queued   [tierCount]waiters
}

// subject returns the subject with an ID.
func (f *flow) subject(id uint64) *subject {
	s := f.subjects[id]
	if s == nil {
		s = &subject{id: id, startTag: f.subjectTime}
		f.subjects[id] = s
	}
	return s
}

func (s *subject) idle() bool { return len(s.queued[onTime])+len(s.queued[late]) == 0 }

// activate raises the start tag of an idle subject to the virtual time, so that it has no credit
// from the time in which it was idle.
func (s *subject) activate(virtualTime float64) {
	if s.idle() {
		s.startTag = max(s.startTag, virtualTime)
	}
}

// startsBefore reports whether s is served before other.
func (s *subject) startsBefore(other *subject) bool {
	if s.startTag != other.startTag {
		return s.startTag < other.startTag
	}
	return s.id < other.id
}

// dropIdleSubjects drops idle subjects whose start tag the virtual time has reached. If too many
// others are idle, it drops the one with the lowest start tag.
func (f *flow) dropIdleSubjects() {
	if len(f.subjects) <= 1 {
		return
	}
	var lowest *subject
	idle := 0
	for id, s := range f.subjects {
		if !s.idle() {
			continue
		}
		if s.startTag <= f.subjectTime {
			delete(f.subjects, id)
			continue
		}
		idle++
		if lowest == nil || s.startsBefore(lowest) {
			lowest = s
		}
	}
	if idle > maxIdleSubjects {
		delete(f.subjects, lowest.id)
	}
}
