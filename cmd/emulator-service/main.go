// Command emulator-service emulates a service that is not a model engine.
package main

import (
	"context"
	"os"

	"bergamothollow.example/bergamothollow/internal/emulator/service"
)

func main() {
	os.Exit(service.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
