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

// Commands returns the commands for operators.
func Commands(f *factory.Factory) []subcommands.Command {
	return []subcommands.Command{
		group(f, "bundle", "create, approve, roll out and compare bundles",
			bundlecreator.NewCommand(f),
			bundlepresenter.NewCommand(f),
			bundleapprover.NewCommand(f),
			bundlepublisher.NewCommand(f),
			bundlecomparer.NewCommand(f)),
		group(f, "target", "add targets, take them out of service and back in",
			targetadder.NewCommand(f),
			targetremover.NewCommand(f),
			targetrestorer.NewCommand(f)),
		group(f, "datacentre", "take data centres out of service and back in",
			datacentreremover.NewCommand(f),
			datacentrerestorer.NewCommand(f)),
		group(f, "config", "check settings", configchecker.NewCommand(f)),
		group(f, "key", "create keys for approvals", keycreator.NewCommand(f)),
		statusreporter.NewCommand(f),
		refusalslister.NewCommand(f),
		tracer.NewCommand(f),
	}
}

func group(f *factory.Factory, name, summary string, verbs ...subcommands.Command) subcommands.Command {
	return &factory.Group{
		Factory: f,
		Noun:    name,
		Summary: summary,
		Verbs:   verbs,
	}
}
