// Package roller defines bundles, checks and signs them, and decides which bundle is in force.
package roller
