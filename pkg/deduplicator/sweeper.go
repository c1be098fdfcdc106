package deduplicator

import "time"

// SweeperSettings configure a sweeper.
type SweeperSettings struct {
	// Retention is how long a record is kept after the deadline of its call.
	Retention time.Duration
	// Interval is the time between passes over all records.
	Interval time.Duration
	// PageSize is the number of records read at a time.
	PageSize int
	// AnswerTimeout is the time after which an unanswered page request is repeated.
	AnswerTimeout time.Duration
}

// DefaultSweeperSettings returns the default settings.
func DefaultSweeperSettings() SweeperSettings {
	return SweeperSettings{
		Retention:     24 * time.Hour,
		Interval:      time.Hour,
		PageSize:      200,
		AnswerTimeout: 10 * time.Second,
	}
}

// Bucket limits the rate of deletes; limiter.Bucket implements it.
type Bucket interface {
	Take(reserve float64, now time.Time) bool
}

// Stored is a record with its object name and version.
type Stored struct {
	Name    string
	Version int64
	Record  Record
}

// ListPage lists up to Limit records after a name; pass the result to ObservePage.
type ListPage struct {
	After string
	Limit int
}

// Delete removes a record at a version; a later pass repeats a failed delete.
type Delete struct {
	Name    string
	Version int64
}

func (ListPage) action() {}
func (Delete) action()   {}

// Sweeper deletes expired records at the rate of its bucket.
type Sweeper struct {
	settings SweeperSettings
	bucket   Bucket
	// due is when the next page is requested, or an unanswered request repeated.
	due time.Time
	// after is the last name of the page before, empty at the start of a pass.
	after   string
	listing bool
	// queue holds the expired records that are not deleted yet.
	queue []Stored
}

// NewSweeper returns a sweeper whose first pass starts one interval from now.
func NewSweeper(settings SweeperSettings, bucket Bucket, now time.Time) *Sweeper {
	return &Sweeper{
		settings: settings,
		bucket:   bucket,
		due:      now.Add(settings.Interval),
	}
}

// Tick deletes as many expired records as the rate allows, then requests the next page.
func (s *Sweeper) Tick(now time.Time) []Action {
	var actions []Action
	for len(s.queue) > 0 && s.bucket.Take(0, now) {
		actions = append(actions, Delete{
			Name:    s.queue[0].Name,
			Version: s.queue[0].Version,
		})
		s.queue = s.queue[1:]
	}
	if len(s.queue) > 0 || now.Before(s.due) {
		return actions
	}
	s.listing = true
	s.due = now.Add(s.settings.AnswerTimeout)
	return append(actions, ListPage{
		After: s.after,
		Limit: s.settings.PageSize,
	})
}

// ObservePage queues the expired records of a page; a page that is not full ends the pass.
func (s *Sweeper) ObservePage(page []Stored, now time.Time) []Action {
	if !s.listing {
		return nil
	}
	s.listing = false
	for _, stored := range page {
		s.after = stored.Name
		if now.Sub(stored.Record.Deadline) >= s.settings.Retention {
			s.queue = append(s.queue, stored)
		}
	}
	s.due = now
	if len(page) < s.settings.PageSize {
		s.after = ""
		s.due = now.Add(s.settings.Interval)
	}
	return s.Tick(now)
}
