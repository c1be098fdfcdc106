// Command standin plays the platform's store, targets and callers for the cases of the review, and starts the gateways as processes.
package main
