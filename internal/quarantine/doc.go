// Package quarantine decides which prompt sections crash the runners that process them, and which of them are to be kept from
// runners.
//
// Load pattern: a section can end the process of each runner that begins an answer on it, with all requests there. Requests
// with it arrive at all VMs and share their other sections with requests that are sound. The Detector therefore counts only
// crashes of requests that were sent one after the other, and blames the section that accounts for most crashes. The List keeps
// its verdicts for as long as requests with the section arrive.
//
// A runner may end before it has sent any data of the answer, or soon after the first. The Detector counts crashes of the two kinds
// apart. The first data of an answer refutes the first kind; only an answer that is whole or has gone on for a while refutes the
// second, and what had gone on so long when its runner ended is not blamed for that.
package quarantine
