// Package tracker keeps the membership of a cell, its targets and what operators took out of service.
package tracker
