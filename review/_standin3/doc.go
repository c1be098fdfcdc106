// Command _standin3 plays the scripts of the third review: it stands in for the users' platform, their servers and their clients, and starts
// instances of the project's own gateway.
package main
