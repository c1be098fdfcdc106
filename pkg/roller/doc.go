// Package roller defines configuration bundles, validates and signs them, and decides which bundle is in force.
package roller
