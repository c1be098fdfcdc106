// Package reviewer checks rules before they are sent: errors, entries that can never match, limits that contradict each other, and what
// differs from another version.
package reviewer
