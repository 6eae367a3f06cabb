// Command _stage3 plays the cases of the third review: it starts the project's own program as separate processes, beside small
// stand-ins of the platform's store, of runners and of clients, on loopback addresses.
package main
