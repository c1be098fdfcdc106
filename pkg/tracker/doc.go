// Package tracker tracks the members and targets of a cell, and what operators have taken out of service.
package tracker
