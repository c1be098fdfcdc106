// Package publisher implements `bergamothollow bundle roll`, which puts a bundle in force.
package publisher
