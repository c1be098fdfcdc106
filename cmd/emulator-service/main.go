// Command emulator-service emulates a plain service.
package main

import (
	"context"
	"os"

	"bergamothollow.example/bergamothollow/internal/emulator/service"
)

func main() {
	os.Exit(service.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
