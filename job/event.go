package job

// Event is a decision or observation for the owner's log. What AgeMs and Count mean depends on Kind; jobmanager.LogEvent
// lists the meanings.
type Event struct {
	Kind   string
	Job    string
	Queue  string
	Task   TaskID
	Run    int
	Worker string
	Reason string
	AgeMs  int64
	Count  int
}

// maxEvents bounds the events that wait for the owner. Further events are dropped.
const maxEvents = 4096

func (p *Pool) event(e Event) {
	if len(p.events) < maxEvents {
		p.events = append(p.events, e)
	}
}

// TakeEvents returns the events since the last call.
func (p *Pool) TakeEvents() []Event {
	e := p.events
	p.events = nil
	return e
}
