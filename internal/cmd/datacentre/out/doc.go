// Package remover implements `bergamothollow datacentre out`, which takes a data centre out of service.
package remover
