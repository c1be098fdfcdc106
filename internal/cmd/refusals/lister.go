package lister

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"time"

	"github.com/google/subcommands"

	"bergamothollow.example/bergamothollow/internal/factory"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/recorder"
	"bergamothollow.example/bergamothollow/pkg/refuser"
	"bergamothollow.example/bergamothollow/pkg/storer"
)

const help = `bergamothollow refusals [--id ID] [--customer C] [--since T] [--reason R] [--json]

List refusal records, oldest first. Records reach the store up to 2 seconds after the refusal.
--since takes a duration before now (30m) or a time (2026-01-31T15:00:00Z). A record with a
count above 1 combines several refusals, whose records were merged during a long outage of the
platform. With --id only the batch of that record is read, otherwise all batches.

Example:
  bergamothollow refusals --customer crew-shares --since 1h --reason queue_full
`

// Options are the arguments and flags of the command.
type Options struct {
	Factory  *factory.Factory
	ID       string
	Customer string
	Since    string
	Reason   string
	JSON     bool
}

// NewCommand returns the command.
func NewCommand(f *factory.Factory) subcommands.Command {
	o := Options{
		Factory: f,
	}
	return &factory.Command{
		Factory: f,
		Verb:    "refusals",
		Summary: "list refused requests",
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
	flags.StringVar(&o.ID, "id", "", "only the record with this `id`, the refusal_id of a response")
	flags.StringVar(&o.Customer, "customer", "", "only refusals of this `customer`")
	flags.StringVar(&o.Since, "since", "", "only refusals after this `time` or within this duration")
	flags.StringVar(&o.Reason, "reason", "", "only refusals with this `reason` (see docs/operating.md)")
	flags.BoolVar(&o.JSON, "json", false, "print records as JSON")
}

// result is the output of --json.
type result struct {
	Records []refuser.Record `json:"records"`
}

func run(ctx context.Context, o Options) error {
	filter, err := o.newFilter()
	if err != nil {
		return err
	}
	store, err := o.Factory.Store()
	if err != nil {
		return err
	}
	batches, err := o.readBatches(ctx, store)
	if err != nil {
		return err
	}
	records := []refuser.Record{}
	for _, batch := range batches {
		records = append(records, filter.Select(batch.Value)...)
	}
	if o.ID != "" {
		records = slices.DeleteFunc(records, func(r refuser.Record) bool { return r.ID != o.ID })
	}
	slices.SortStableFunc(records, func(a, b refuser.Record) int {
		return a.At.Compare(b.At)
	})
	if o.JSON {
		return o.Factory.JSON(result{
			Records: records,
		})
	}
	return printRecords(o.Factory, records)
}

// readBatches reads all batches, or only the batch that holds the record with the id of the options.
func (o Options) readBatches(ctx context.Context, store storer.Store) ([]factory.Entry[recorder.Batch], error) {
	if o.ID == "" {
		return factory.List[recorder.Batch](ctx, store, storer.KindRefusal)
	}
	name, err := recorder.BatchName(o.ID)
	if err != nil {
		return nil, err
	}
	batch, err := factory.Read[recorder.Batch](ctx, store, storer.KindRefusal, name)
	if err == nil && batch.Version == 0 {
		err = &NotFoundError{
			ID: o.ID,
		}
	}
	return []factory.Entry[recorder.Batch]{batch}, err
}

// NotFoundError means that no stored batch has the record.
type NotFoundError struct {
	ID string
}

// Error says why the record may be missing.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("the store has no record %q: records are written up to 2 seconds after the refusal, "+
		"or after an outage of the platform, and are lost if the process is killed; the response to the caller has the same information", e.ID)
}

func (o Options) newFilter() (recorder.Filter, error) {
	since, err := o.parseSince()
	if err != nil {
		return recorder.Filter{}, err
	}
	reason := refuser.Reason(o.Reason)
	if o.Reason != "" && !slices.Contains(refuser.Reasons(), reason) {
		return recorder.Filter{}, &factory.UsageError{
			Problem: fmt.Sprintf("unknown reason %q: use one of %v", o.Reason, refuser.Reasons()),
		}
	}
	return recorder.Filter{
		Customer: namer.Customer(o.Customer),
		Since:    since,
		Reason:   reason,
	}, nil
}

func (o Options) parseSince() (time.Time, error) {
	if o.Since == "" {
		return time.Time{}, nil
	}
	if ago, err := time.ParseDuration(o.Since); err == nil {
		return o.Factory.Clock.Now().Add(-ago), nil
	}
	at, err := time.Parse(time.RFC3339, o.Since)
	if err != nil {
		return time.Time{}, &factory.UsageError{
			Problem: fmt.Sprintf("--since %q is neither a duration (30m) nor a time (2026-01-31T15:00:00Z)", o.Since),
		}
	}
	return at, nil
}

func printRecords(f *factory.Factory, records []refuser.Record) error {
	rows := [][]any{{"TIME", "ID", "INSTANCE", "CUSTOMER", "SUBJECT", "REASON", "RAN", "RETRY AFTER", "COUNT", "MESSAGE"}}
	for _, record := range records {
		rows = append(rows, []any{
			record.At.UTC().Format(time.RFC3339), record.ID, record.Instance, record.Customer, record.Subject,
			record.Reason, record.Ran, record.RetryAfter, max(record.MergedCount, 1), record.Message,
		})
	}
	return f.Table(rows)
}
