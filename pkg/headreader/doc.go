// Package headreader reads the heads of HTTP answers, and rejects those that are no answer's.
package headreader
