// Package estimate predicts service times from past measurements.
//
// A LinearModel fits the service time of recent calls to their size, and so
// predicts the time of a call before it is sent. A Quantile estimates one
// quantile of a series in constant space.
//
// # Usage
//
//	model := estimate.LinearModel{}
//	model = model.WithSample(size, microseconds)
//	us := model.Predict(size)
package estimate
