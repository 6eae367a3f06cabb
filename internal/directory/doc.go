// Package directory keeps a VM's view of the endpoints in its failure domain and of the other entry VMs.
package directory
