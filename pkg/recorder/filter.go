package recorder

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// Filter selects records; an empty field matches all.
type Filter struct {
	Customer namer.Customer
	Since    time.Time
	Reason   refuser.Reason
}

// Match reports whether the filter selects the record; a folded record, which stands for several refusals, has the time of
// the last one.
func (f Filter) Match(r refuser.Record) bool {
	return (f.Customer == "" || f.Customer == r.Customer) &&
		(f.Reason == "" || f.Reason == r.Reason) &&
		!r.At.Before(f.Since)
}

// Select returns the records of a batch that match the filter.
func (f Filter) Select(b Batch) []refuser.Record {
	var selected []refuser.Record
	for _, r := range b.Records {
		if f.Match(r) {
			selected = append(selected, r)
		}
	}
	return selected
}

// IDError means that a string is not the id of a refusal record.
type IDError struct {
	ID string
}

// Error describes the id.
func (e *IDError) Error() string {
	return fmt.Sprintf("%q is not the id of a refusal record: use the refusal_id of the answer", e.ID)
}

// BatchName returns the name of the object that contains the record with the id.
func BatchName(id string) (string, error) {
	i := strings.LastIndexByte(id, '.')
	if i <= 0 || strings.Count(id, ".") < 3 {
		return "", &IDError{
			ID: id,
		}
	}
	if _, err := strconv.Atoi(id[i+1:]); err != nil {
		return "", &IDError{
			ID: id,
		}
	}
	return id[:i], nil
}
