// Package mesh links every entry VM to the one that holds the lease for orders: demand goes up, facts about runners and the
// configuration come down. Nothing that must hold rests on a link.
package mesh
