//! Shares a limited amount of something, such as memory, fairly among the holders that take parts of it.
//!
//! Each holder has a reserve of its own, which the others can't take. Beyond its reserve a holder may take a
//! multiple of what is still free, so that one alone can use most of it and yet leaves some to another one (the
//! dynamic thresholds of shared-memory switches, Choudhury and Hahne 1998). A part is left to preferred holders,
//! since many others can use up the rest one after the other.

use std::cell::Cell;
use std::rc::Rc;

/// Limits of a [`Budget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Amount that all holders together may take beyond their reserves.
    pub shared: usize,
    /// Part of the shared amount that only preferred holders may take.
    pub preferred: usize,
    /// Amount that each holder may take in any case.
    pub reserve_per_holder: usize,
    /// How much a holder may have of the shared amount, as a multiple of what is free.
    pub free_multiple: usize,
}

/// The amount that all holders share.
#[derive(Debug)]
pub struct Budget {
    limits: Cell<BudgetLimits>,
    /// Amount taken beyond the reserves.
    shared_in_use: Cell<usize>,
}

impl Budget {
    /// Creates a budget from which nothing has been taken.
    pub fn new(limits: BudgetLimits) -> Rc<Self> {
        Rc::new(Self { limits: Cell::new(limits), shared_in_use: Cell::new(0) })
    }

    /// Returns the limits.
    pub fn limits(&self) -> BudgetLimits {
        self.limits.get()
    }

    /// Changes the amount that all holders share. Their reserves stay as they are.
    pub fn set_shared(&self, shared: usize) {
        self.limits.set(BudgetLimits { shared, ..self.limits.get() });
    }

    /// Returns the amount taken beyond the reserves of the holders.
    pub fn shared_in_use(&self) -> usize {
        self.shared_in_use.get()
    }

    /// Returns how much of a holder's amount is beyond its reserve.
    fn beyond_reserve(&self, held: usize) -> usize {
        held.saturating_sub(self.limits.get().reserve_per_holder)
    }
}

/// What one holder has taken of a [`Budget`]. It is given back when the account is dropped.
#[derive(Debug)]
pub struct Account {
    budget: Rc<Budget>,
    held: Cell<usize>,
    is_preferred: Cell<bool>,
}

impl Account {
    /// Creates an account of a holder that has taken nothing.
    pub fn new(budget: Rc<Budget>) -> Self {
        Self { budget, held: Cell::new(0), is_preferred: Cell::new(false) }
    }

    /// Makes the holder a preferred one.
    pub fn prefer(&self) {
        self.is_preferred.set(true);
    }

    /// Returns whether the holder may take `amount` more.
    pub fn allows(&self, amount: usize) -> bool {
        let (limits, budget) = (self.budget.limits.get(), &self.budget);
        let held_after = budget.beyond_reserve(self.held.get() + amount);
        let in_use_after = budget.shared_in_use() + held_after - budget.beyond_reserve(self.held.get());
        let kept = if self.is_preferred.get() { 0 } else { limits.preferred };
        let free_after = limits.shared.saturating_sub(kept + in_use_after);
        held_after <= limits.free_multiple.saturating_mul(free_after)
    }

    /// Takes an amount, whether or not it is allowed.
    pub fn take(&self, amount: usize) {
        self.set_held(self.held.get() + amount);
    }

    /// Gives back an amount.
    pub fn give_back(&self, amount: usize) {
        self.set_held(self.held.get().saturating_sub(amount));
    }

    /// Takes an amount, which is given back when the charge is dropped.
    pub fn charge(self: &Rc<Self>, amount: usize) -> Charge {
        self.take(amount);
        Charge { account: self.clone(), amount }
    }

    /// Returns the amount that the holder has taken.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    fn set_held(&self, held: usize) {
        let before = self.budget.beyond_reserve(self.held.replace(held));
        let in_use = self.budget.shared_in_use() + self.budget.beyond_reserve(held) - before;
        self.budget.shared_in_use.set(in_use);
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.set_held(0);
    }
}

/// An amount taken by a holder for one purpose. It is given back when the charge is dropped.
#[derive(Debug)]
pub struct Charge {
    account: Rc<Account>,
    amount: usize,
}

impl Charge {
    /// Raises the amount, if it is less, whether or not that is allowed.
    pub fn raise_to(&mut self, amount: usize) {
        self.account.take(amount.saturating_sub(self.amount));
        self.amount = self.amount.max(amount);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.account.give_back(self.amount);
    }
}
