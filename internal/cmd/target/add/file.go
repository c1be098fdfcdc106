package adder

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"bergamothollow.example/bergamothollow/internal/configurer"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

// Bounds of the time between generated tokens. They also reject a number without a unit, which would otherwise be read as
// nanoseconds.
const (
	minTokenInterval = 100 * time.Microsecond
	maxTokenInterval = 10 * time.Second
)

type targetsFile struct {
	Targets []tracker.Target `yaml:"targets"`
}

// readTargets reads and checks the target records of a file.
func readTargets(file string) ([]tracker.Target, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%w: write target records as in examples/targets.yaml", err)
	}
	var decoded targetsFile
	document, err := configurer.Decode(file, content, &decoded)
	if err != nil {
		return nil, err
	}
	if len(decoded.Targets) == 0 {
		return nil, document.ErrorAt("targets", "no target records: list at least one")
	}
	seen := map[namer.Target]bool{}
	for i, target := range decoded.Targets {
		field, problem := check(target)
		if seen[target.ID] {
			field, problem = "id", "listed twice: remove one"
		}
		if problem != "" {
			return nil, document.ErrorAt(fmt.Sprintf("targets.%d.%s", i, field), problem)
		}
		seen[target.ID] = true
	}
	return decoded.Targets, nil
}

// check returns the first invalid field and how to correct it, or two empty strings.
func check(t tracker.Target) (field, problem string) {
	if _, err := netip.ParseAddrPort(t.Address); err != nil {
		return "address", "not an IP address with a port: write it like 10.0.0.1:9000"
	}
	switch {
	case t.ID == "":
		return "id", "required: set it"
	case t.Cell == "":
		return "cell", "required: set it"
	case t.DataCentre == "":
		return "data_centre", "required: set it"
	case t.Kind == tracker.TargetEngine:
		return checkEngine(t)
	case t.Kind == tracker.TargetService:
		return checkService(t)
	}
	return "kind", "set it to engine or service"
}

func checkEngine(t tracker.Target) (field, problem string) {
	switch {
	case t.Model == "":
		return "model", "required for an engine: set it"
	case t.Service != "":
		return "service", "an engine has a model only: remove it"
	case t.CapacityTokens < 1:
		return "capacity_tokens", "required for an engine: set it to the tokens that fit its memory"
	case !(t.PrefillRate > 0):
		return "prefill_rate", "required for an engine: set it to tokens per second"
	case t.TokenInterval < minTokenInterval || t.TokenInterval > maxTokenInterval:
		return "token_interval", fmt.Sprintf("required for an engine: set it to %v up to %v, with its unit", minTokenInterval, maxTokenInterval)
	}
	return "", ""
}

func checkService(t tracker.Target) (field, problem string) {
	switch {
	case t.Service == "":
		return "service", "required for a service: set it"
	case t.Model != "":
		return "model", "a service has no model: remove it"
	}
	return "", ""
}
