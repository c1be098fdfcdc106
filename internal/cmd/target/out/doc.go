// Package remover implements `bergamothollow target out`, which takes a target out of service.
package remover
