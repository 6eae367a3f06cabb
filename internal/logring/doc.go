// Package logring keeps log lines from ever blocking who writes them: a full ring drops lines and counts them.
package logring
