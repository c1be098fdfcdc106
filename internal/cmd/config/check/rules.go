package checker

import (
	"context"
	"fmt"
	"os"

	"bergamothollow.example/bergamothollow/pkg/matcher"
	"bergamothollow.example/bergamothollow/pkg/reviewer"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/platform"
)

// InForce stands for the rules in force in --against.
const InForce = "in-force"

// FaultyError means that rules have errors or contradictions.
type FaultyError struct {
	File   string
	Faults int
}

// Error says how many there are.
func (e *FaultyError) Error() string {
	return fmt.Sprintf("%s: %d errors and contradictions: mend them before you send it", e.File, e.Faults)
}

// FileError means that a file has no rules that can be read.
type FileError struct {
	File  string
	Cause error
}

// Error says what to do.
func (e *FileError) Error() string {
	return fmt.Sprintf("%s: %v: name a file with the rules as they are sent, in JSON", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error {
	return e.Cause
}

// report is the output of --json.
type report struct {
	Findings []reviewer.Finding `json:"findings"`
	Changes  []reviewer.Change  `json:"changes"`
}

func checkRules(ctx context.Context, o Options) error {
	rules, err := readRules(o.Rules)
	if err != nil {
		return err
	}
	settings, err := o.Factory.Settings()
	if err != nil {
		return err
	}
	result := report{
		Findings: reviewer.Review(rules, reviewer.Budget{
			Ratio: settings.Gateway.RetryRatio,
			Extra: settings.Gateway.RetryExtra,
		}),
		Changes: []reviewer.Change{},
	}
	if o.Against != "" {
		other, err := readOther(ctx, o)
		if err != nil {
			return err
		}
		result.Changes = reviewer.Compare(other, rules)
		if rules.Version <= other.Version && len(result.Changes) > 0 {
			result.Findings = append(result.Findings, reviewer.Finding{
				Severity: reviewer.Error,
				Subject:  "version",
				Problem:  fmt.Sprintf("%d isn't above %d, so that instances keep the other rules", rules.Version, other.Version),
				Next:     "raise it",
			})
		}
	}
	if err := o.print(result); err != nil {
		return err
	}
	faults := 0
	for _, f := range result.Findings {
		if f.Severity != reviewer.Unused {
			faults++
		}
	}
	if faults > 0 {
		return &FaultyError{
			File:   o.Rules,
			Faults: faults,
		}
	}
	return nil
}

func (o *Options) print(r report) error {
	if o.JSON {
		return o.Factory.JSON(r)
	}
	for _, f := range r.Findings {
		o.Factory.Printf("%s: %s %s: %s\n", f.Severity, f.Subject, f.Problem, f.Next)
	}
	if len(r.Findings) == 0 {
		o.Factory.Printf("%s: valid\n", o.Rules)
	}
	if len(r.Changes) == 0 {
		return nil
	}
	rows := [][]any{{"PATH", "OLD", "NEW"}}
	for _, c := range r.Changes {
		rows = append(rows, []any{c.Path, c.Old, c.New})
	}
	return o.Factory.Table(rows)
}

func readRules(file string) (matcher.Rules, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return matcher.Rules{}, &FileError{
			File:  file,
			Cause: err,
		}
	}
	rules, err := platform.DecodeRules(content)
	if err != nil {
		return matcher.Rules{}, &FileError{
			File:  file,
			Cause: err,
		}
	}
	return rules, nil
}

// readOther returns the rules to compare with.
func readOther(ctx context.Context, o Options) (matcher.Rules, error) {
	if o.Against != InForce {
		return readRules(o.Against)
	}
	settings, err := o.Factory.Settings()
	if err != nil {
		return matcher.Rules{}, err
	}
	store, err := platform.NewStore(settings.Platform.Address, settings.Platform.Timeout, func(storer.Kind, error) {}, func(string, int64) {})
	if err != nil {
		return matcher.Rules{}, err
	}
	object, err := store.Get(ctx, platform.KindRules, platform.RulesName)
	if err != nil {
		return matcher.Rules{}, err
	}
	return platform.DecodeRules(object.Value)
}
