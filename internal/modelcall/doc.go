// Package modelcall answers callers' requests to models: it limits, chooses, sends, relays and resumes.
package modelcall
