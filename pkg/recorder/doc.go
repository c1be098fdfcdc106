// Package recorder batches refusal records and schedules their writes to the store.
package recorder
