// Package headreader reads the heads of HTTP answers and rejects invalid ones.
package headreader
