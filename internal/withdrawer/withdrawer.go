package withdrawer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"bergamothollow.example/bergamothollow/internal/changer"
	"bergamothollow.example/bergamothollow/internal/factory"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

// ReadVersion as a request's IfVersion stands for the version just read.
const ReadVersion int64 = -1

// Subject is what a departure names.
type Subject interface {
	// list returns the part of the departures that holds the subject.
	list(d *tracker.Departure) list
	String() string
}

// DataCentre is a data centre as a subject.
type DataCentre namer.DataCentre

// Target is a target as a subject.
type Target namer.Target

// String names the data centre.
func (d DataCentre) String() string { return "data centre " + string(d) }

// String names the target.
func (t Target) String() string { return "target " + string(t) }

func (d DataCentre) list(departure *tracker.Departure) list {
	return names[namer.DataCentre]{
		all:  &departure.DataCentres,
		name: namer.DataCentre(d),
	}
}

func (t Target) list(departure *tracker.Departure) list {
	return names[namer.Target]{
		all:  &departure.Targets,
		name: namer.Target(t),
	}
}

type list interface {
	contains() bool
	add()
	remove()
}

type names[N ~string] struct {
	all  *[]N
	name N
}

func (n names[N]) contains() bool { return slices.Contains(*n.all, n.name) }

func (n names[N]) add() {
	*n.all = append(slices.Clone(*n.all), n.name)
	slices.Sort(*n.all)
}

func (n names[N]) remove() {
	*n.all = slices.DeleteFunc(slices.Clone(*n.all), func(other N) bool { return other == n.name })
}

// Request is one change of the departures.
type Request struct {
	Subject   Subject
	Out       bool
	IfVersion int64
	// Force allows to take out the last data centre.
	Force bool
}

// Change returns the request in words.
func (r Request) Change() string {
	if r.Out {
		return r.Subject.String() + " out"
	}
	return r.Subject.String() + " in"
}

// Run reads the departures, changes them on condition and reports the outcome.
func Run(ctx context.Context, f *factory.Factory, r Request) error {
	settings, err := f.Operator()
	if err != nil {
		return err
	}
	store, err := f.OpenStore(settings)
	if err != nil {
		return err
	}
	// The departures are read before the checks, so that the condition of the write covers what was checked.
	current, err := factory.Read[tracker.Departure](ctx, store, storer.KindDeparture, storer.CurrentName)
	if err != nil {
		return err
	}
	if r.Out {
		if err := checkOut(ctx, store, r, current.Value); err != nil {
			return err
		}
	}
	if r.IfVersion != ReadVersion && r.IfVersion != current.Version {
		return staleError(current)
	}
	return change(ctx, f, f.Changer(store), r, current, settings.Operator)
}

func change(ctx context.Context, f *factory.Factory, c changer.Changer, r Request, current factory.Entry[tracker.Departure], operator string) error {
	next := current.Value
	entries := r.Subject.list(&next)
	if entries.contains() == r.Out {
		f.Printf("%s already (departures at version %d); nothing to change\n", r.Change(), current.Version)
		return nil
	}
	if r.Out {
		entries.add()
	} else {
		entries.remove()
	}
	next.ChangedBy = operator
	next.Change = r.Change()
	version, err := c.Apply(ctx, changer.Write{
		Kind:    storer.KindDeparture,
		Name:    storer.CurrentName,
		Version: current.Version,
		Value:   next,
	})
	if err != nil {
		return explain(err, current.Value)
	}
	f.Printf("%s: done (departures at version %d, before %d)\n", r.Change(), version, current.Version)
	return nil
}

// staleError is the conflict of a command whose --if-version is not the current one.
func staleError(current factory.Entry[tracker.Departure]) error {
	conflict := &changer.ConflictError{
		Kind: storer.KindDeparture,
		Name: storer.CurrentName,
		Current: storer.Object{
			Version: current.Version,
		},
		By:   current.Value.ChangedBy,
		Next: "look at `bergamothollow status`, then run the command again with the new version",
	}
	if current.Value.Change != "" {
		conflict.Changes = []string{"last change: " + current.Value.Change}
	}
	return conflict
}

// explain adds to a conflict what the other operator changed.
func explain(err error, before tracker.Departure) error {
	var conflict *changer.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	after, decodeErr := factory.Decode[tracker.Departure](conflict.Current)
	if decodeErr != nil {
		return err
	}
	conflict.By = after.Value.ChangedBy
	conflict.Changes = differences(before, after.Value)
	return conflict
}

func differences(before, after tracker.Departure) []string {
	changes := moved("data centre", before.DataCentres, after.DataCentres)
	return append(changes, moved("target", before.Targets, after.Targets)...)
}

func moved[N ~string](what string, before, after []N) []string {
	var changes []string
	for _, name := range after {
		if !slices.Contains(before, name) {
			changes = append(changes, fmt.Sprintf("%s %s out", what, name))
		}
	}
	for _, name := range before {
		if !slices.Contains(after, name) {
			changes = append(changes, fmt.Sprintf("%s %s in", what, name))
		}
	}
	return changes
}

// UnknownSubjectError means that nothing has the name, probably because it is misspelt.
type UnknownSubjectError struct {
	Subject Subject
	Known   []string
}

// Error lists the known names.
func (e *UnknownSubjectError) Error() string {
	return fmt.Sprintf("there is no %s: use one of %s", e.Subject, strings.Join(e.Known, ", "))
}

// LastDataCentreError means that no data centre would be left in service.
type LastDataCentreError struct {
	Subject Subject
}

// Error says how to go on.
func (e *LastDataCentreError) Error() string {
	return fmt.Sprintf("%s is the last one in service, taking it out stops the service: take another one in first, or add --force", e.Subject)
}

func checkOut(ctx context.Context, store storer.Store, r Request, current tracker.Departure) error {
	targets, err := factory.List[tracker.Target](ctx, store, storer.KindTarget)
	if err != nil {
		return err
	}
	known := map[string]bool{}
	for _, target := range targets {
		if _, ok := r.Subject.(Target); ok {
			known[target.Name] = true
		} else {
			known[string(target.Value.DataCentre)] = true
		}
	}
	switch subject := r.Subject.(type) {
	case Target:
		return checkKnown(subject, string(subject), known)
	case DataCentre:
		return checkDataCentre(ctx, store, r, subject, current, known)
	}
	return nil
}

func checkDataCentre(ctx context.Context, store storer.Store, r Request, subject DataCentre, current tracker.Departure, known map[string]bool) error {
	members, err := factory.List[tracker.Member](ctx, store, storer.KindMember)
	if err != nil {
		return err
	}
	for _, member := range members {
		known[string(member.Value.DataCentre)] = true
	}
	name := string(subject)
	if err := checkKnown(r.Subject, name, known); err != nil || r.Force {
		return err
	}
	for _, out := range current.DataCentres {
		delete(known, string(out))
	}
	delete(known, name)
	if len(known) == 0 {
		return &LastDataCentreError{
			Subject: r.Subject,
		}
	}
	return nil
}

func checkKnown(subject Subject, name string, known map[string]bool) error {
	if known[name] {
		return nil
	}
	return &UnknownSubjectError{
		Subject: subject,
		Known:   slices.Sorted(maps.Keys(known)),
	}
}
