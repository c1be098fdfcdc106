// Command emulator-engine emulates a model engine.
package main

import (
	"context"
	"os"

	"bergamothollow.example/bergamothollow/internal/emulator/engine"
)

func main() {
	os.Exit(engine.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
