"""Who belongs to the fleet's managers, who of them has failed, and on which side of a cut we are."""
