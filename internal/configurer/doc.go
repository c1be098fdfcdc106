// Package configurer reads and checks the settings of instances and of operator commands.
package configurer
