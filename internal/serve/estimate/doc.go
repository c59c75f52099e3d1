// Package estimate predicts service times from what was measured.
//
// A Line fits service time against size over recent calls, so that a call's
// time can be predicted from what its request shows. A Quantile follows one
// quantile of a series in constant space.
//
// # Usage
//
//	line := estimate.Line{}
//	line = line.WithSample(size, microseconds)
//	us := line.Predict(size)
package estimate
