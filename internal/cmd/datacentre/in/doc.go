// Package restorer implements `bergamothollow datacentre in`, which takes a data centre back into service.
package restorer
