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
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// AnyVersion is the IfVersion of a Request that accepts whatever version Run reads.
const AnyVersion int64 = -1

// Subject is the data centre or target to take out of service or put back.
type Subject interface {
	// entry returns the subject's entry in the departures, which list what is out of service.
	entry(d *tracker.Departure) departureEntry
	String() string
}

// DataCentre is a Subject that names a data centre.
type DataCentre namer.DataCentre

// Target is a Subject that names a target.
type Target namer.Target

// String returns the data centre's kind and name, for messages.
func (d DataCentre) String() string { return "data centre " + string(d) }

// String returns the target's kind and name, for messages.
func (t Target) String() string { return "target " + string(t) }

func (d DataCentre) entry(departure *tracker.Departure) departureEntry {
	return listEntry[namer.DataCentre]{
		list: &departure.DataCentres,
		name: namer.DataCentre(d),
	}
}

func (t Target) entry(departure *tracker.Departure) departureEntry {
	return listEntry[namer.Target]{
		list: &departure.Targets,
		name: namer.Target(t),
	}
}

// departureEntry adds a name to a list of the departures, or removes it.
type departureEntry interface {
	contains() bool
	add()
	remove()
}

// listEntry is a departureEntry: a name that may be in the list.
type listEntry[N ~string] struct {
	list *[]N
	name N
}

func (e listEntry[N]) contains() bool { return slices.Contains(*e.list, e.name) }

func (e listEntry[N]) add() {
	*e.list = append(slices.Clone(*e.list), e.name)
	slices.Sort(*e.list)
}

func (e listEntry[N]) remove() {
	*e.list = slices.DeleteFunc(slices.Clone(*e.list), func(other N) bool { return other == e.name })
}

// Request is one change of the departures: with TakeOut the subject is taken out of service, else it is put back.
type Request struct {
	Subject   Subject
	TakeOut   bool
	IfVersion int64
	// Force allows taking the last data centre out of service.
	Force bool
}

// Change describes the request for people and for the departure record.
func (r Request) Change() string {
	if r.TakeOut {
		return r.Subject.String() + " out"
	}
	return r.Subject.String() + " in"
}

// Run reads the departures, applies the request if they have not changed since, and prints the outcome.
func Run(ctx context.Context, f *factory.Factory, r Request) error {
	settings, err := f.Operator()
	if err != nil {
		return err
	}
	store, err := f.OpenStore(settings)
	if err != nil {
		return err
	}
	// The departures are read before the checks, so that the conditional write fails if what was checked has changed.
	current, err := factory.Read[tracker.Departure](ctx, store, storer.KindDeparture, storer.CurrentName)
	if err != nil {
		return err
	}
	if r.TakeOut {
		if err := checkOut(ctx, store, r, current.Value); err != nil {
			return err
		}
	}
	if r.IfVersion != AnyVersion && r.IfVersion != current.Version {
		return staleVersionError(current)
	}
	return change(ctx, f, f.Changer(store), r, current, settings.Operator)
}

func change(ctx context.Context, f *factory.Factory, c changer.Changer, r Request, current factory.Entry[tracker.Departure], operator string) error {
	next := current.Value
	entry := r.Subject.entry(&next)
	if entry.contains() == r.TakeOut {
		f.Printf("%s already (departures at version %d); nothing to change\n", r.Change(), current.Version)
		return nil
	}
	if r.TakeOut {
		entry.add()
	} else {
		entry.remove()
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

// staleVersionError returns the conflict for a command whose --if-version is not the current version.
func staleVersionError(current factory.Entry[tracker.Departure]) error {
	conflict := &changer.ConflictError{
		Kind: storer.KindDeparture,
		Name: storer.CurrentName,
		Current: storer.Object{
			Version: versioner.Of(current.Version),
		},
		By:   current.Value.ChangedBy,
		Next: "look at `bergamothollow status`, then run the command again with the new version",
	}
	if current.Value.Change != "" {
		conflict.Changes = []string{"last change: " + current.Value.Change}
	}
	return conflict
}

// explain adds the other operator's changes to a conflict.
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
	changes := inOutChanges("data centre", before.DataCentres, after.DataCentres)
	return append(changes, inOutChanges("target", before.Targets, after.Targets)...)
}

func inOutChanges[N ~string](kind string, before, after []N) []string {
	var changes []string
	for _, name := range after {
		if !slices.Contains(before, name) {
			changes = append(changes, fmt.Sprintf("%s %s out", kind, name))
		}
	}
	for _, name := range before {
		if !slices.Contains(after, name) {
			changes = append(changes, fmt.Sprintf("%s %s in", kind, name))
		}
	}
	return changes
}

// UnknownSubjectError means that no data centre or target has the name; it is probably misspelt.
type UnknownSubjectError struct {
	Subject Subject
	Known   []string
}

// Error names the subject and lists the known names.
func (e *UnknownSubjectError) Error() string {
	return fmt.Sprintf("there is no %s: use one of %s", e.Subject, strings.Join(e.Known, ", "))
}

// LastDataCentreError means that the change would leave no data centre in service.
type LastDataCentreError struct {
	Subject Subject
}

// Error names the data centre and says what to do.
func (e *LastDataCentreError) Error() string {
	return fmt.Sprintf("%s is the last one in service, taking it out stops the service: put another one back into service first, or add --force", e.Subject)
}

// checkOut checks that the subject exists and that a data centre stays in service.
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
