// Package recorder batches refusal records and decides when they are written.
package recorder
