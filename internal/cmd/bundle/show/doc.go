// Package presenter implements `bergamothollow bundle show`, which prints a bundle.
package presenter
