// Package quarantine decides which prompt sections crash the runners that process them, and which of them are to be kept from
// runners.
//
// Load pattern: a section can end the process of each runner that begins an answer on it, with all requests there. Requests
// with it arrive at all VMs and share their other sections with requests that are sound. The Detector therefore counts only
// crashes of requests that were sent one after the other, forgets them once an answer with the section has begun, and blames
// the section that accounts for most crashes. The List keeps its verdicts for as long as requests with the section arrive.
package quarantine
