// Package show implements the command "cowsliparch configuration show".
package show
