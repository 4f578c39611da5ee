"""A day: parts as processes, troubles on a timeline, records and a verdict."""
