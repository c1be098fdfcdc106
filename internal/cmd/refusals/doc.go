// Package lister implements `bergamothollow refusals`, which lists refusal records.
package lister
