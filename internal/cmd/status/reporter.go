package reporter

import (
	"context"
	"flag"
	"maps"
	"slices"

	"github.com/google/subcommands"

	"bergamothollow.example/bergamothollow/internal/bundler"
	"bergamothollow.example/bergamothollow/internal/factory"
	"bergamothollow.example/bergamothollow/pkg/elector"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

const help = `bergamothollow status [--cell C] [--json]

Print the bundle in force, the members with their bundle sequences, the targets with their owners,
and the data centres and targets out of service, as recorded in the platform's store.

Example:
  bergamothollow status --cell main
`

// Options are the arguments and flags of the command.
type Options struct {
	Factory *factory.Factory
	Cell    string
	JSON    bool
}

// NewCommand returns the command.
func NewCommand(f *factory.Factory) subcommands.Command {
	o := Options{
		Factory: f,
	}
	return &factory.Command{
		Factory: f,
		Verb:    "status",
		Summary: "print members, targets, owners and departures",
		Help:    help,
		Flags:   o.setFlags,
		Run: func(ctx context.Context, arguments []string) error {
			if err := factory.NoArguments(arguments); err != nil {
				return err
			}
			return run(ctx, o)
		},
	}
}

func (o *Options) setFlags(flags *flag.FlagSet) {
	flags.StringVar(&o.Cell, "cell", "", "only this `cell`")
	flags.BoolVar(&o.JSON, "json", false, "print the state as JSON")
}

// state is the output of --json.
type state struct {
	BundleSequence   int64             `json:"bundle_sequence"`
	BundleVersion    int64             `json:"bundle_version"`
	Departure        tracker.Departure `json:"departure"`
	DepartureVersion int64             `json:"departure_version"`
	Members          []tracker.Member  `json:"members"`
	Targets          []target          `json:"targets"`
}

// target is a target record with its entry in the ownership table, if it has one.
type target struct {
	tracker.Target
	Ownership *elector.Entry `json:"ownership,omitempty"`
}

func run(ctx context.Context, o Options) error {
	store, err := o.Factory.Store()
	if err != nil {
		return err
	}
	s := state{
		Members: []tracker.Member{},
		Targets: []target{},
	}
	for _, read := range []func(context.Context, storer.Store, namer.Cell) error{s.readBundleAndDeparture, s.readMembers, s.readTargets} {
		if err := read(ctx, store, namer.Cell(o.Cell)); err != nil {
			return err
		}
	}
	if o.JSON {
		return o.Factory.JSON(s)
	}
	return s.print(o.Factory)
}

func (s *state) readBundleAndDeparture(ctx context.Context, store storer.Store, _ namer.Cell) error {
	pointer, err := bundler.ReadPointer(ctx, store)
	if err != nil {
		return err
	}
	departure, err := factory.Read[tracker.Departure](ctx, store, storer.KindDeparture, storer.CurrentName)
	if err != nil {
		return err
	}
	s.BundleSequence, s.BundleVersion = pointer.Value.Sequence, pointer.Version
	s.Departure, s.DepartureVersion = departure.Value, departure.Version
	return nil
}

func (s *state) readMembers(ctx context.Context, store storer.Store, cell namer.Cell) error {
	members, err := factory.List[tracker.Member](ctx, store, storer.KindMember)
	for _, member := range members {
		if cell == "" || member.Value.Cell == cell {
			s.Members = append(s.Members, member.Value)
		}
	}
	return err
}

func (s *state) readTargets(ctx context.Context, store storer.Store, cell namer.Cell) error {
	tables, err := factory.List[elector.Table](ctx, store, storer.KindCell)
	if err != nil {
		return err
	}
	owners := map[namer.Target]*elector.Entry{}
	for _, table := range tables {
		maps.Copy(owners, table.Value.Entries)
	}
	targets, err := factory.List[tracker.Target](ctx, store, storer.KindTarget)
	for _, entry := range targets {
		if cell == "" || entry.Value.Cell == cell {
			s.Targets = append(s.Targets, target{
				Target:    entry.Value,
				Ownership: owners[entry.Value.ID],
			})
		}
	}
	return err
}

func (s *state) print(f *factory.Factory) error {
	f.Printf("bundle in force: %d (pointer at version %d)\n", s.BundleSequence, s.BundleVersion)
	f.Printf("out of service: data centres %v, targets %v (departures at version %d)\n", s.Departure.DataCentres, s.Departure.Targets, s.DepartureVersion)
	if s.Departure.Change != "" {
		f.Printf("last change of departures: %s, by %s\n", s.Departure.Change, s.Departure.ChangedBy)
	}
	f.Printf("\n")
	if err := f.Table(s.memberRows()); err != nil {
		return err
	}
	f.Printf("\n")
	return f.Table(s.targetRows())
}

func (s *state) memberRows() [][]any {
	rows := [][]any{{"INSTANCE", "CELL", "DATA CENTRE", "STATE", "BUNDLE", "DEPARTURES SEEN", "CALLERS' ADDRESS"}}
	for _, m := range s.Members {
		rows = append(rows, []any{m.Holder.Instance, m.Cell, m.DataCentre, m.State, m.BundleSequence, m.DepartureSeen, m.CallerAddress})
	}
	return rows
}

func (s *state) targetRows() [][]any {
	rows := [][]any{{"TARGET", "CELL", "DATA CENTRE", "SERVES", "SERVICE", "OWNER", "SUCCESSOR", "EPOCH"}}
	for _, t := range s.Targets {
		row := []any{t.ID, t.Cell, t.DataCentre, string(t.Model) + string(t.Service), s.serviceState(t)}
		if t.Ownership == nil {
			rows = append(rows, append(row, "none", "none", 0))
			continue
		}
		rows = append(rows, append(row, t.Ownership.Owner.Instance, t.Ownership.Successor.Instance, t.Ownership.Epoch))
	}
	return rows
}

// serviceState returns whether the target is in or out of service.
func (s *state) serviceState(t target) string {
	if slices.Contains(s.Departure.Targets, t.ID) || slices.Contains(s.Departure.DataCentres, t.DataCentre) {
		return "out"
	}
	return "in"
}
