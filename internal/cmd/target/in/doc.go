// Package restorer implements `bergamothollow target in`, which takes a target back into service.
package restorer
