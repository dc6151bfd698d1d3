"""Plans that move traffic between regions."""
