package registrar

import (
	"github.com/google/subcommands"

	bundleapprover "bergamothollow.example/bergamothollow/internal/cmd/bundle/approve"
	bundlecreator "bergamothollow.example/bergamothollow/internal/cmd/bundle/create"
	bundlecomparer "bergamothollow.example/bergamothollow/internal/cmd/bundle/diff"
	bundlepublisher "bergamothollow.example/bergamothollow/internal/cmd/bundle/roll"
	bundlepresenter "bergamothollow.example/bergamothollow/internal/cmd/bundle/show"
	configchecker "bergamothollow.example/bergamothollow/internal/cmd/config/check"
	datacentrerestorer "bergamothollow.example/bergamothollow/internal/cmd/datacentre/in"
	datacentreremover "bergamothollow.example/bergamothollow/internal/cmd/datacentre/out"
	keycreator "bergamothollow.example/bergamothollow/internal/cmd/key/create"
	refusalslister "bergamothollow.example/bergamothollow/internal/cmd/refusals"
	statusreporter "bergamothollow.example/bergamothollow/internal/cmd/status"
	targetadder "bergamothollow.example/bergamothollow/internal/cmd/target/add"
	targetrestorer "bergamothollow.example/bergamothollow/internal/cmd/target/in"
	targetremover "bergamothollow.example/bergamothollow/internal/cmd/target/out"
	tracer "bergamothollow.example/bergamothollow/internal/cmd/trace"
	"bergamothollow.example/bergamothollow/internal/factory"
)

// Commands returns the operator commands.
func Commands(f *factory.Factory) []subcommands.Command {
	return []subcommands.Command{
		noun(f, "bundle", "make, approve, roll out and compare bundles",
			bundlecreator.NewCommand(f),
			bundlepresenter.NewCommand(f),
			bundleapprover.NewCommand(f),
			bundlepublisher.NewCommand(f),
			bundlecomparer.NewCommand(f)),
		noun(f, "target", "add targets, take them out of service and back in",
			targetadder.NewCommand(f),
			targetremover.NewCommand(f),
			targetrestorer.NewCommand(f)),
		noun(f, "datacentre", "take data centres out of service and back in",
			datacentreremover.NewCommand(f),
			datacentrerestorer.NewCommand(f)),
		noun(f, "config", "check settings", configchecker.NewCommand(f)),
		noun(f, "key", "make keys for approvals", keycreator.NewCommand(f)),
		statusreporter.NewCommand(f),
		refusalslister.NewCommand(f),
		tracer.NewCommand(f),
	}
}

func noun(f *factory.Factory, name, summary string, verbs ...subcommands.Command) subcommands.Command {
	return &factory.Noun{
		Factory: f,
		Noun:    name,
		Summary: summary,
		Verbs:   verbs,
	}
}
