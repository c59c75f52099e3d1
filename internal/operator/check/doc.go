// Package check reviews a site document before an operator sends it to a registry.
//
// A Report lists what a registry would refuse (errors), entries that can never match or have
// no effect and limits that contradict each other (warnings), and the differences to the
// document in force. The package reads no files and uses no network. API keys are secrets: a
// report says how many changed and never contains one.
//
// # Usage
//
//	report := check.Run(check.Input{Text: text, Decode: platform.DecodeSubmitted, InForce: inForce})
//	report.WriteText(os.Stdout)
//	if report.Count(check.Error) > 0 { ... }
//
// The order of findings and differences is stable. Rules are identified by the Rule constants,
// whose values are part of the JSON form and do not change.
package check
